"""The entry point of `python -m sorreldock`."""

from .program import early_reload

if __name__ == "__main__":
    early_reload.record_sighup()  # before the imports, which take most of the start time
    from .program.start import main

    main()
