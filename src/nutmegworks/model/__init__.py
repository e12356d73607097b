"""Value types shared by all packages; they do no I/O."""
