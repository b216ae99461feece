/*
 * The MAC at the end of job ids, which protects them against forgery.  Ids
 * have one only when the deployment has keys.
 */
#ifndef PROTOCOL_JOB_ID_MAC_H
#define PROTOCOL_JOB_ID_MAC_H

#include "protocol/peer_mac.h"

#include <glib.h>

/*
 * Appends a MAC to TEXT, an id without one, unless MAC is NULL or has no keys.
 * Takes ownership of TEXT.  Free the result with g_free ().
 */
char *job_id_sign (const struct peer_mac *mac, char *text);

/*
 * Whether MAC_TEXT is the MAC of the id TEXT under a key of MAC.  MAC_TEXT
 * points into TEXT, where job_id_parse () found it, or is NULL when the id has
 * no MAC.  Always TRUE when MAC is NULL or has no keys.
 */
gboolean job_id_check_mac (const struct peer_mac *mac, const char *text,
                           const char *mac_text);

#endif
