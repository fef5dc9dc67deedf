"""Experiments that compare policies with fixed seeds."""
