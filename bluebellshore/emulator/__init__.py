"""Model engines, plain services and routers in simulated time.

Drives the decision code of :mod:`bluebellshore.routing` under loads at their worst.
"""
