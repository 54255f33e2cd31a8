"""What the program decides about itself: how late its loop runs, how short it is of means, what to shed."""
