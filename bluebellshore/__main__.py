"""Run the command line with ``python -m bluebellshore``."""

from bluebellshore.cli import main

if __name__ == "__main__":
    main()
