from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=150, database=None)
settings.load_profile("fixed")
