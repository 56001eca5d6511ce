"""The command line. `python -m kelpcourse` without arguments is the director and does not come here."""
