"""The beginning of a term, when stored records are known but machines have not reported yet."""
