/* Crowds of clients that misuse `radishchute entry` over TLS.  */
#include "t/support/entry_crowds.h"

int
main (int argc, char **argv)
{
  return entry_crowds_run ("tls", TRUE, argc, argv);
}
