"""Random faults against entry processes, and checks of what users are promised."""
