"""Names, formats and calls of the outer platform, converted to the fleet's types."""
