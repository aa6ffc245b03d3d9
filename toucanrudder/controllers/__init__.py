"""Tasks that keep the state which filters decide on."""
