/*
 * The HTTP interface for operators: metrics, state, log level, drain.
 *
 * Served on the callers' port.  When the settings name an operator token,
 * each request must carry it as "Authorization: Bearer TOKEN".
 */
#ifndef TRANSPORT_OPERATOR_SERVER_H
#define TRANSPORT_OPERATOR_SERVER_H

#include "protocol/settings.h"
#include "transport/home.h"

#include <libsoup/soup.h>

struct operator_server;

/*
 * Adds the operators' paths to SOUP.  REQUEST_DRAIN is called with DATA when
 * an operator asks for a drain.  SETTINGS and HOME must outlive the result,
 * which must outlive SOUP's last request.
 */
struct operator_server *
operator_server_attach (SoupServer *soup, const struct settings *settings,
                        struct home *home,
                        void (*request_drain) (gpointer data), gpointer data);
void operator_server_free (struct operator_server *server);

#endif
