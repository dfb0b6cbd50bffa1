"""Assembly, endpoints and process of one controller; tests of whole controllers."""
