"""The platform's protocol over HTTP/1.1: the front, the server client and discovery."""
