"""Selection of workers for requests and tasks."""
