/*
 * Measures by how much the main loop runs late.
 *
 * Ten times a second a timer records how late it was called in
 * METRIC_LOOP_DELAY_SECONDS.  The clock goes on while the machine is
 * suspended, so a pause of the process or of the machine is measured too.  A
 * delay of LOOP_DELAY_LATE_US or more is logged as EVENT_LOOP_LATE.
 */
#ifndef TRANSPORT_LOOP_DELAY_H
#define TRANSPORT_LOOP_DELAY_H

#include <glib.h>

#define LOOP_DELAY_LATE_US (250 * G_GINT64_CONSTANT (1000))

struct loop_delay;

/* Starts to measure the default main loop.  */
struct loop_delay *loop_delay_new (void);
void loop_delay_free (struct loop_delay *delay);

/* The longest delay, in microseconds, since the last call of this function or
   the start.  */
gint64 loop_delay_take_max_us (struct loop_delay *delay);

#endif
