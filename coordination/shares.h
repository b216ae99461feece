/*
 * This VM's shares of slots and quotas, which expire at their deadlines.  Also
 * implements dispatcher_set_unix_offset () and dispatcher_get_load ().
 */
#ifndef COORDINATION_SHARES_H
#define COORDINATION_SHARES_H

#include "coordination/dispatcher_private.h"

/* Reduces expired slot shares to at most an even part of the slots.  */
void shares_expire (struct dispatcher *dispatcher, gint64 now_us);

#endif
