"""What any node does for users: submissions, questions, cancellations."""
