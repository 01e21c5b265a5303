"""`python -m sorreldock` is the command line."""

from .program.cli import main

if __name__ == "__main__":
    main()
