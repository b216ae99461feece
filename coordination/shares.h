/*
 * Shares of this VM in slots and quotas that end with their deadlines.
 */
#ifndef COORDINATION_SHARES_H
#define COORDINATION_SHARES_H

#include "coordination/dispatcher_private.h"

/* Shrinks the slot shares whose deadlines have passed.  */
void shares_expire (struct dispatcher *dispatcher, gint64 now_us);

#endif
