/*
 * The report of a bench run: as JSON, as a table or as a plot, optionally
 * compared with an earlier run.
 */
#ifndef COMMANDS_BENCH_REPORT_H
#define COMMANDS_BENCH_REPORT_H

#include "commands/bench_load.h"

#include <jansson.h>

/* Numbers of messages that the entry VMs sent to upstreams during the run.  */
struct bench_messages
{
  gint64 starts;   /* of tasks */
  gint64 renewals; /* of leases */
  gint64 stops;    /* of tasks */
};

/* Returns the report of a run as a new JSON object, which the caller owns.
   NAME labels the run in tables and plots.  */
json_t *bench_report_build (const char *name,
                            const struct bench_config *config,
                            const struct bench_outcome *outcome,
                            const struct bench_messages *messages);

/* Prints REPORT as a table on standard output.  Unless EARLIER is NULL, the
   table also has the values of that report and the ratios to them.  */
void bench_report_print (const json_t *report, const json_t *earlier);

/* Writes a plot of the distribution of the time over ideal, which is the
   response time minus the ideal, to the SVG file PATH.  Unless EARLIER is
   NULL, the plot has the curve of that report too.  Returns FALSE with ERROR
   when the file cannot be written.  */
gboolean bench_report_plot (const json_t *report, const json_t *earlier,
                            const char *path, GError **error);

#endif
