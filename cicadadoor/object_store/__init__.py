"""Read and write objects in the platform's object API."""
