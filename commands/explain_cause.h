/*
 * Finds the likely causes of what happened to a job, by a table of rules.
 *
 * Each rule checks a finished timeline and says whether it applies and why.
 * The first rule that applies is the likely cause.  The others that apply are
 * additional findings.
 */
#ifndef COMMANDS_EXPLAIN_CAUSE_H
#define COMMANDS_EXPLAIN_CAUSE_H

#include "commands/explain_timeline.h"

struct explain_cause
{
  const char *name;   /* for programs, as in "hanging-upstream"; static */
  const char *title;  /* for people; static */
  const char *remedy; /* for people; "" for none; static */
  char *why;          /* the evidence, with names and figures */
};

/* The causes that apply, as struct explain_cause, the likeliest first.  Never
   empty.  TIMELINE must have been finished.  The caller owns the array, which
   owns the causes.  */
GPtrArray *explain_cause_find (const struct timeline *timeline);

#endif
