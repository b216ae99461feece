/*
 * Serves the procedures of peer.x to other entry VMs.
 *
 * A connection may send only short records until one of its calls was
 * authenticated.  It is closed when it sends malformed data, an unauthentic or
 * replayed call, or nothing for a while.
 */
#ifndef TRANSPORT_PEER_SERVICE_H
#define TRANSPORT_PEER_SERVICE_H

#include "protocol/peer_mac.h"
#include "protocol/rpc_message.h"

#include <gio/gio.h>

struct peer_service;
struct peer_request;

/* See peer_hub.h.  */
typedef void peer_handler_func (struct peer_request *request,
                                const void *arguments, gpointer data);

struct peer_service_counts
{
  guint64 served;
  guint64 refused; /* malformed, wrong MAC, or replayed */
};

/* Accepts connections on the listening SOCKET, to which it takes a reference,
   and serves calls addressed to the VM named VM.  MAC must outlive the
   service.  */
struct peer_service *peer_service_new (GSocket *socket, const char *vm,
                                       const struct peer_mac *mac);

/* Closes every connection.  Replies to requests that are still pending are
   discarded.  */
void peer_service_free (struct peer_service *service);

/* Registers HANDLER for the number PROCEDURE.  */
void peer_service_set_handler (struct peer_service *service, guint procedure,
                               peer_handler_func *handler, gpointer data);

/* Closes connections on which nothing was received for too long; to be called
   about every second.  */
void peer_service_advance (struct peer_service *service, gint64 now_us);

const struct peer_service_counts *
peer_service_get_counts (const struct peer_service *service);

/* The number of requests that were not replied to yet.  */
guint peer_service_count_pending (const struct peer_service *service);

/* See peer_hub.h.  */
const char *peer_request_get_sender (const struct peer_request *request);
const peer_credential_heard *
peer_request_get_heard (const struct peer_request *request);
gboolean peer_request_is_connected (const struct peer_request *request);
void peer_request_reply (struct peer_request *request, const void *result);
void peer_request_fail (struct peer_request *request);

#endif
