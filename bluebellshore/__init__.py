"""Router fleet for prepaid token budgets."""

__version__ = "0.1.0"

__all__ = ["__version__"]
