"""Runs the entry daemon without its installed script."""

from daisydyke._cli._entry import main

if __name__ == '__main__':
    main()
