"""HTTP/1.1 messages: a reader that cuts them out of what arrives, a writer; neither does any
I/O."""
