"""The platform's protocol over HTTP/1.1."""
