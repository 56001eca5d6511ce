"""The command line. `python -m kelpcourse` without arguments is the platform's controller and does not come here."""
