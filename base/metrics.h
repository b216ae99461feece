/*
 * The process's own metrics.
 *
 * All values are kept in static cells: counting allocates nothing and costs
 * one addition.  A metric has one cell, or one for each value of its labels.
 * base/metrics.def lists the metrics.  docs/operating/metrics.md explains
 * them, and a test compares the two.
 */
#ifndef BASE_METRICS_H
#define BASE_METRICS_H

#include "base/histogram.h"

#include <glib.h>

enum metric
{
#define METRIC(id, type, name, label, help) METRIC_##id,
#include "base/metrics.def"
#undef METRIC
  METRIC_COUNT
};

enum metric_type
{
  METRIC_TYPE_COUNTER,   /* never decreases */
  METRIC_TYPE_GAUGE,     /* set to the current value */
  METRIC_TYPE_HISTOGRAM, /* of times in microseconds, shown in seconds */
};

/* The label of a metric.  Each of its values has a cell, numbered as in the
   enum that is named here.  */
enum metric_label
{
  METRIC_LABEL_NONE,
  METRIC_LABEL_ERROR_KIND,   /* enum error_kind */
  METRIC_LABEL_LOG_LEVEL,    /* enum log_level */
  METRIC_LABEL_MESSAGE,      /* enum upstream_message */
  METRIC_LABEL_LOG_CLASS,    /* enum log_class */
  METRIC_LABEL_OUTCOME,      /* enum job_outcome */
  METRIC_LABEL_ORDER,        /* enum upstream_order */
  METRIC_LABEL_STORE_CALL,   /* enum store_call and enum store_outcome */
  METRIC_LABEL_REFUSAL,      /* enum refusal_cause */
  METRIC_LABEL_CLIENT_LIMIT, /* enum client_limit */
};

/* Requests that an entry VM's dispatcher sends to an upstream.  */
enum upstream_message
{
  UPSTREAM_MESSAGE_START,
  UPSTREAM_MESSAGE_RENEW,
  UPSTREAM_MESSAGE_STOP,
  UPSTREAM_MESSAGE_COUNT
};

/* How a job of the fleet ended, as counted at its home.  */
enum job_outcome
{
  JOB_OUTCOME_DONE,
  JOB_OUTCOME_FAILED,    /* a task used up its attempts */
  JOB_OUTCOME_REJECTED,  /* nothing of it was run */
  JOB_OUTCOME_TIMED_OUT, /* its maximum time was exceeded */
  JOB_OUTCOME_LOST, /* an owner of its tasks was lost; they may have run */
  JOB_OUTCOME_CALLER_GONE,
  JOB_OUTCOME_COUNT
};

/* Why a home refused a job of which nothing was run.  */
enum refusal_cause
{
  REFUSAL_OTHER,
  REFUSAL_WAIT_TOO_LONG, /* its tasks would have waited too long, or have */
  REFUSAL_NO_OWNER,      /* no live owner has slots */
  REFUSAL_OVER_SHARE,    /* its caller requests more than its share */
  REFUSAL_COUNT
};

/* Limits for which a client is refused or its connection closed.  */
enum client_limit
{
  CLIENT_LIMIT_CONNECTIONS, /* of its class, or of the process */
  CLIENT_LIMIT_MEMORY,      /* of the process */
  CLIENT_LIMIT_DESCRIPTORS, /* of the machine: accepting has failed */
  CLIENT_LIMIT_HEADER,      /* length and fields of a header */
  CLIENT_LIMIT_BODY,        /* length of a body */
  CLIENT_LIMIT_TIME,        /* to send a request or to read an answer */
  CLIENT_LIMIT_COUNT
};

/* Orders that an owner sends to an upstream.  */
enum upstream_order
{
  UPSTREAM_ORDER_START,
  UPSTREAM_ORDER_STOP,
  UPSTREAM_ORDER_POLL, /* report the runs, and renew their leases */
  UPSTREAM_ORDER_COUNT
};

/* Calls to the platform's store.  */
enum store_call
{
  STORE_CALL_READ,    /* read records from an offset on */
  STORE_CALL_NEWEST,  /* get the end of the records */
  STORE_CALL_JOIN,    /* become or stay a member, to get or keep shards */
  STORE_CALL_MEMBERS, /* list the members */
  STORE_CALL_LEAVE,
  STORE_CALL_COUNT
};

enum store_outcome
{
  STORE_OUTCOME_DONE,
  STORE_OUTCOME_REFUSED, /* answered with an error */
  STORE_OUTCOME_NO_ANSWER,
  STORE_OUTCOME_COUNT
};

/* The name of CAUSE in logs and metrics.  Static.  */
const char *refusal_cause_name (enum refusal_cause cause);

/* The name of LIMIT in logs and metrics.  Static.  */
const char *client_limit_name (enum client_limit limit);

/* Adds one to a counter without labels.  */
void metrics_count (enum metric metric);

/* Adds one to the cell of a counter for the label value LABEL.  */
void metrics_count_label (enum metric metric, guint label);

/* Adds N to the cell of a counter for the label value LABEL, 0 for a counter
   without labels.  */
void metrics_add (enum metric metric, guint label, guint64 n);

/* Counts a call to the store in METRIC_STORE_CALLS.  */
void metrics_count_store_call (enum store_call call,
                               enum store_outcome outcome);

/* The value of a counter or gauge for the label value LABEL, 0 for one without
   labels.  */
guint64 metrics_get (enum metric metric, guint label);

/* Sets a gauge without labels.  */
void metrics_set (enum metric metric, guint64 value);

/* Records a time, in microseconds, in a histogram.  */
void metrics_record (enum metric metric, gint64 value_us);

/* The histogram of METRIC.  Static.  */
const struct histogram *metrics_get_histogram (enum metric metric);

/* The name of METRIC, as in "radishchute_jobs_active".  Static.  */
const char *metrics_name (enum metric metric);

/* Appends every metric in the text exposition format, version 0.0.4.  */
void metrics_format (GString *text);

#endif
