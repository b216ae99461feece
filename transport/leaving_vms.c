#include "transport/leaving_vms.h"

/* How long a peer's report holds while the list cannot be read.  */
#define REPORT_TTL_US (600 * G_USEC_PER_SEC)

/* Peers' reports are ignored while the set has this many VMs.  */
#define MAX_LEAVING_VMS 65536

struct leaving_vms
{
  GHashTable *vms; /* name -> struct leaving_vm */
  leaving_change_func *changed;
  gpointer data;
};

struct leaving_vm
{
  gboolean is_listed;  /* shown as leaving by the platform's list */
  gboolean was_listed; /* in the previous list */
  gint64 reported_until_us;
};

struct leaving_vms *
leaving_vms_new (leaving_change_func *changed, gpointer data)
{
  struct leaving_vms *vms = g_new0 (struct leaving_vms, 1);

  vms->vms = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  vms->changed = changed;
  vms->data = data;
  return vms;
}

void
leaving_vms_free (struct leaving_vms *vms)
{
  g_hash_table_unref (vms->vms);
  g_free (vms);
}

static struct leaving_vm *
get_or_add (struct leaving_vms *vms, const char *name)
{
  struct leaving_vm *vm = g_hash_table_lookup (vms->vms, name);

  if (vm != NULL)
    return vm;
  vm = g_new0 (struct leaving_vm, 1);
  g_hash_table_insert (vms->vms, g_strdup (name), vm);
  vms->changed (vms->data, name, TRUE);
  return vm;
}

void
leaving_vms_report (struct leaving_vms *vms, const char *vm, gint64 now_us)
{
  if (g_hash_table_size (vms->vms) < MAX_LEAVING_VMS)
    get_or_add (vms, vm)->reported_until_us = now_us + REPORT_TTL_US;
}

void
leaving_vms_begin_list (struct leaving_vms *vms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, vms->vms);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct leaving_vm *vm = value;

      vm->was_listed = vm->is_listed;
      vm->is_listed = FALSE;
      vm->reported_until_us = 0;
    }
}

gboolean
leaving_vms_add_listed (struct leaving_vms *vms, const char *name)
{
  struct leaving_vm *vm = get_or_add (vms, name);

  vm->is_listed = TRUE;
  return !vm->was_listed;
}

void
leaving_vms_end_list (struct leaving_vms *vms, gint64 now_us)
{
  leaving_vms_advance (vms, now_us);
}

void
leaving_vms_advance (struct leaving_vms *vms, gint64 now_us)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, vms->vms);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      struct leaving_vm *vm = value;

      if (vm->is_listed || vm->reported_until_us > now_us)
        continue;
      vms->changed (vms->data, key, FALSE);
      g_hash_table_iter_remove (&iter);
    }
}

void
leaving_vms_foreach (struct leaving_vms *vms,
                     void (*visit) (const char *vm, gpointer data),
                     gpointer data)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, vms->vms);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    visit (key, data);
}
