"""Golden bytes: stored values and messages of this service, kept byte for byte as data files.

Each `.toml` file describes one interface: the values in the store, the protocols of users,
workers, cloud and store, the messages between controllers, HTTP itself, and the settings file.
The tests beside them map each entry to a Python object or call, so renaming Python code changes
only the tests. Entries are never changed, since records in the store and controllers of earlier
versions use these bytes. New formats get new entries.
"""
