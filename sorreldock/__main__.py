"""`python -m sorreldock` is the command line."""

from .program import early_reload

if __name__ == "__main__":
    early_reload.catch()  # before the imports that take most of the start
    from .program.start import main

    main()
