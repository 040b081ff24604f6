"""Work in hand survives the loss of its proxy: another member of the group takes it over, once."""
