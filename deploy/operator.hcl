# What the operators turn on beside the platform's configuration. All of it may be left out; then it is off.
# Check it with: lifthinge check deploy/operator.hcl

log {
  form = "key-value" # or "json"
}

# A member of the cluster that agrees on the configuration; run it with: lifthinge member run deploy/operator.hcl
# On the platform it stays off: no further listener, no disk that survives.
#
# member {
#   cluster         = "depots"
#   name            = "a"
#   listen          = "127.0.0.1:7101"
#   folder          = "/var/lib/lifthinge/a"
#   key_file        = "/etc/lifthinge/members.key" # 600; a line: NAME and 64 hexadecimal digits
#   client_key_file = "/etc/lifthinge/clients.key"
#   election_ms     = 1000
#   beat_ms         = 100
#   start_with = { # the first members, alike at each; leave it out where the member joins a running cluster
#     a = "127.0.0.1:7101"
#     b = "127.0.0.1:7102"
#     c = "127.0.0.1:7103"
#   }
# }

# A record of what the decisions were told and ordered; look into it with: lifthinge replay FOLDER
#
# capture {
#   folder     = "/var/lib/lifthinge/capture"
#   budget_mb  = 64 # the oldest goes first
#   segment_mb = 4
# }

# Where a controller, or the command line, finds the agreed configuration.
#
# agreed {
#   cluster  = "depots"
#   key_file = "/etc/lifthinge/clients.key"
#   members = {
#     a = "127.0.0.1:7101"
#     b = "127.0.0.1:7102"
#     c = "127.0.0.1:7103"
#   }
# }
