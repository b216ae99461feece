/*
 * The likely cause of what happened to a job, by a table of rules.
 *
 * Each rule looks at a finished story and says whether it applies and why.
 * The first one that applies is the likely cause, the others add to it.
 */
#ifndef COMMANDS_EXPLAIN_CAUSE_H
#define COMMANDS_EXPLAIN_CAUSE_H

#include "commands/explain_timeline.h"

struct explain_cause
{
  const char *name;   /* as in "hanging-upstream"; static */
  const char *title;  /* the same for a person; static */
  const char *remedy; /* what to do; static */
  char *why;          /* with names and figures */
};

/* The causes that apply, struct explain_cause, the likeliest first; never
   empty.  The caller owns the array.  */
GPtrArray *explain_cause_find (const struct story *story);

#endif
