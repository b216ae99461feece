/*
 * Notifies the service manager, such as systemd, that started the process.
 *
 * The manager names a datagram socket in the environment variable
 * NOTIFY_SOCKET; without it nothing is sent.
 */
#ifndef TRANSPORT_SERVICE_MANAGER_H
#define TRANSPORT_SERVICE_MANAGER_H

/* Sends the notification STATE, as in "READY=1".  A failure is logged.  */
void service_manager_notify (const char *state);

#endif
