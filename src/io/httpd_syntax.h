/*
 * httpd_syntax.h - what RFC 9112 has a server reject and libmicrohttpd accepts.
 */
#ifndef ALMONDTHREAD_IO_HTTPD_SYNTAX_H
#define ALMONDTHREAD_IO_HTTPD_SYNTAX_H

#include "io/httpd_private.h"

/*
 * httpd_check_syntax() checks the request line and the headers, before the body
 * is read. version is that of the request, as libmicrohttpd states it. Returns
 * NULL, or what is wrong, a static text.
 */
const char *httpd_check_syntax(
    const at_httpd_request_t *request, const char *version);

#endif
