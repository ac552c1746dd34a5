"""What operators set: documents in force, and the changes to them."""
