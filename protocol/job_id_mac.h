/*
 * The MAC that job ids carry when the deployment has keys, so that nobody
 * makes ids up.
 */
#ifndef PROTOCOL_JOB_ID_MAC_H
#define PROTOCOL_JOB_ID_MAC_H

#include "protocol/peer_mac.h"

#include <glib.h>

/*
 * Takes over TEXT, an id without a MAC, and returns it with one; as it is when
 * MAC is NULL or has no keys.  Free with g_free ().
 */
char *job_id_sign (const struct peer_mac *mac, char *text);

/*
 * Whether MAC_TEXT, which job_id_parse () found at the end of the id TEXT or
 * which is NULL, was made with a key of MAC.  TRUE without keys.
 */
gboolean job_id_check_mac (const struct peer_mac *mac, const char *text,
                           const char *mac_text);

#endif
