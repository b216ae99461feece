/*
 * What a bench run found: as JSON, as a table, as a plot, beside another run.
 */
#ifndef COMMANDS_BENCH_REPORT_H
#define COMMANDS_BENCH_REPORT_H

#include "commands/bench_load.h"

#include <jansson.h>

/* Messages that the entry VMs sent to upstreams while the load ran.  */
struct bench_messages
{
  gint64 starts;
  gint64 renewals;
  gint64 stops;
};

/* The figures of a run as a new JSON object.  NAME labels the run.  */
json_t *bench_report_build (const char *name,
                            const struct bench_config *config,
                            const struct bench_outcome *outcome,
                            const struct bench_messages *messages);

/* Prints REPORT as a table; with EARLIER, which may be NULL, the figures of
   that run and the ratios beside it.  */
void bench_report_print (const json_t *report, const json_t *earlier);

/* Writes the distribution of the time over ideal, with EARLIER's unless it is
   NULL, as an SVG file.  */
gboolean bench_report_plot (const json_t *report, const json_t *earlier,
                            const char *path, GError **error);

#endif
