/*
 * Callers over TLS, with a certificate that the tests bring.
 */
#include "t/support/deployment.h"
#include "t/support/http.h"

#define CERTIFICATE "t/data/test-certificate.pem"

static struct deployment *
start (void)
{
  struct deployment *d = deployment_start (0, 1);
  json_t *settings = deployment_settings (d, 0);

  json_object_set_new (settings, "tls",
                       json_pack ("{s:s, s:s}", "certificate", CERTIFICATE,
                                  "key", "t/data/test-key.pem"));
  deployment_start_entry (d, 0, settings);
  d->n_entries = 1;
  json_decref (settings);
  return d;
}

static gboolean
is_test_certificate (SoupMessage *message, GTlsCertificate *certificate,
                     GTlsCertificateFlags errors, gpointer data)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GTlsCertificate) expected
      = g_tls_certificate_new_from_file (CERTIFICATE, &error);

  g_assert_no_error (error);
  return g_tls_certificate_is_same (certificate, expected);
}

static void
test_health (void)
{
  struct deployment *d = start ();
  g_autofree char *uri = g_strdup_printf ("https://127.0.0.1:%u/v1/health",
                                          d->entries[0]->ports[0]);
  g_autoptr (SoupSession) session
      = soup_session_new_with_options ("proxy-resolver", NULL, NULL);
  g_autoptr (SoupMessage) message = soup_message_new ("GET", uri);
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) body = NULL;

  g_signal_connect (message, "accept-certificate",
                    G_CALLBACK (is_test_certificate), NULL);
  body = soup_session_send_and_read (session, message, NULL, &error);
  g_assert_no_error (error);
  g_assert_nonnull (body);
  g_assert_cmpuint (soup_message_get_status (message), ==, 200);
  deployment_stop (d);
}

/* Without TLS there is no answer.  */
static void
test_plain_text (void)
{
  struct deployment *d = start ();
  g_autofree char *url = deployment_url (d, 0, "/v1/health");
  struct http_answer *answer = http_request ("GET", url, NULL, NULL);

  g_assert_cmpuint (answer->status, ==, 0);
  http_answer_free (answer);
  deployment_stop (d);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/tls/health", test_health);
  g_test_add_func ("/tls/plain-text", test_plain_text);
  return g_test_run ();
}
