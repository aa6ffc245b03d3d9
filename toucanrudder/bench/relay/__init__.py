"""What the relay costs, beside a bare relay and no relay at all."""
