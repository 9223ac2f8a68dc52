"""Workers of a site and the scheduler that places tasks on them."""
