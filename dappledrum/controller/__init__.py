"""One controller, and its sockets; tests of whole controllers."""
