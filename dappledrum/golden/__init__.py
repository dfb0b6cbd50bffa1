"""Golden bytes: what this service stores and sends, byte for byte, kept as data.

Each `.toml` file describes one wire: the values in the store, the protocols of users,
workers, cloud and store, the messages between controllers, HTTP itself, and the settings
file. The tests beside them say which Python object or call belongs to which entry. Renaming Python
code changes only the tests. An entry is never changed, since records and controllers of earlier
versions hold these bytes; new forms get new entries.
"""
