/*
 * Runs the binary as an operator does and keeps what it prints.
 */
#ifndef T_SUPPORT_RUN_H
#define T_SUPPORT_RUN_H

#include <glib.h>
#include <jansson.h>

struct run_result
{
  int status; /* exit status */
  char *out;
  char *err;
};

/* Runs "radishchute" of the build directory with the arguments up to NULL,
   INPUT on its standard input, and waits for its end.  */
struct run_result *run_command (const char *input, ...) G_GNUC_NULL_TERMINATED;

/* The standard output as JSON, which the caller owns; aborts when it is not
   JSON.  */
json_t *run_result_json (const struct run_result *result);

void run_result_free (struct run_result *result);

#endif
