/*
 * Clock readings.
 *
 * Deadlines are in microseconds of CLOCK_BOOTTIME, which continues while the
 * machine is suspended.  So a process that was paused sees at once which of
 * its deadlines have passed.  Wall-clock time is used only for times that
 * enter or leave the process.
 */
#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <glib.h>

#define USEC_PER_MSEC G_GINT64_CONSTANT (1000)
#define USEC_PER_SEC G_GINT64_CONSTANT (1000000)

/* A deadline that never passes, in microseconds.  */
#define DEADLINE_NEVER G_MAXINT64

/* Microseconds since boot, suspended time included.  */
gint64 clock_now_us (void);

/* Milliseconds since the Unix epoch.  */
gint64 clock_unix_ms (void);

/*
 * Converts a time in Unix milliseconds into a deadline on the clock of
 * clock_now_us (), of which NOW_US is a reading.  Returns DEADLINE_NEVER for a
 * time that is too far ahead.
 */
gint64 clock_deadline_from_unix_ms (gint64 unix_ms, gint64 now_us);

#endif
