/* http_basic - parses HTTP Basic credentials.  */

#ifndef SAVORYWAY_CLI_HTTP_BASIC_H
#define SAVORYWAY_CLI_HTTP_BASIC_H

#include <stdbool.h>

/* Parsed credentials; both strings are NULL if there are none.  */
struct http_basic
{
  char *name;
  char *secret;
};

/* Parses HEADER, the value of an Authorization header, "Basic BASE64".
   Returns false if it is NULL or malformed.  Call http_basic_clear on BASIC
   in either case.  */
bool http_basic_parse (struct http_basic *basic, const char *header);

/* Frees the strings of BASIC and wipes the secret.  */
void http_basic_clear (struct http_basic *basic);

#endif
