/*
 * Serves the procedures of peer.x to other entry VMs.
 *
 * A connection may send little before one of its calls was found authentic,
 * and is closed when it sends junk, a replayed call, or nothing for a while.
 */
#ifndef TRANSPORT_PEER_SERVICE_H
#define TRANSPORT_PEER_SERVICE_H

#include "protocol/peer_mac.h"
#include "protocol/rpc_message.h"

#include <gio/gio.h>

struct peer_service;
struct peer_request;

/* See peer_hub.h.  */
typedef void peer_handler (struct peer_request *request, const void *arguments,
                           gpointer data);

struct peer_service_counts
{
  guint64 served;
  guint64 refused; /* junk, wrong MAC, replayed */
};

/* Serves the listening SOCKET as the VM of that name.  MAC must outlive the
   service.  */
struct peer_service *peer_service_new (GSocket *socket, const char *vm,
                                       const struct peer_mac *mac);

/* Closes every connection; requests that are still held go nowhere.  */
void peer_service_free (struct peer_service *service);

/* Makes HANDLER serve PROCEDURE.  */
void peer_service_set_handler (struct peer_service *service, guint procedure,
                               peer_handler *handler, gpointer data);

/* Closes connections that are silent; to be called every second or so.  */
void peer_service_advance (struct peer_service *service, gint64 now_us);

const struct peer_service_counts *
peer_service_get_counts (const struct peer_service *service);

/* Requests that wait for their reply.  */
guint peer_service_count_pending (const struct peer_service *service);

/* See peer_hub.h.  */
const char *peer_request_get_sender (const struct peer_request *request);
gboolean peer_request_is_connected (const struct peer_request *request);
void peer_request_reply (struct peer_request *request, const void *result);
void peer_request_fail (struct peer_request *request);

#endif
