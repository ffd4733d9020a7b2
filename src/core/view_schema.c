#include "core/view_schema.h"

#include <arpa/inet.h>
#include <string.h>

#define SLOTS_LIMIT 1000
#define CONNECTIONS_LIMIT 10000
#define CONNECT_COST_LIMIT_MS 60000
#define DEADLINE_LIMIT_MS 600000
#define MAX_AGE_LIMIT_MS 86400000
#define PRIORITY_LIMIT 9
#define WEIGHT_LIMIT 1000

#define DEFAULT_CONNECT_COST_MS 10
#define DEFAULT_DEADLINE_MS 5000
#define DEFAULT_COST_MS 5
#define DEFAULT_PRIORITY 5

static const char *const freshness_choices[]
    = { [FRESHNESS_STRONG] = "strong",
        [FRESHNESS_SESSION] = "session",
        [FRESHNESS_MAX_AGE] = "max_age",
        NULL };

static const char *const ack_choices[]
    = { [ACK_MAJORITY] = "majority", [ACK_PRIMARY] = "primary", NULL };

const struct view_kind schema_strictest_kind = {
  .freshness = FRESHNESS_STRONG,
  .write = true,
  .ack = ACK_MAJORITY,
  .deadline_ms = DEFAULT_DEADLINE_MS,
  .cost_ms = DEFAULT_COST_MS,
  .priority = DEFAULT_PRIORITY,
};

static bool
hex_valid (const char *text, size_t digits)
{
  return strspn (text, "0123456789abcdef") == digits;
}

bool
view_secret_hash_valid (const char *text)
{
  if (strlen (text) != VIEW_SECRET_HASH_BYTES - 1)
    return false;
  if (!hex_valid (text, VIEW_SALT_DIGITS) || text[VIEW_SALT_DIGITS] != ':')
    return false;
  return hex_valid (text + VIEW_SALT_DIGITS + 1, VIEW_HASH_DIGITS);
}

static bool
address_valid (const char *text)
{
  struct in6_addr address;
  if (strlen (text) >= ADDRESS_BYTES)
    return false;
  return inet_pton (AF_INET, text, &address) == 1
         || inet_pton (AF_INET6, text, &address) == 1;
}

#define KIND(member) offsetof (struct view_kind, member)

static const struct field kind_fields[] = {
  { .name = "freshness",
    .kind = FIELD_CHOICE,
    .offset = KIND (freshness),
    .initial = FRESHNESS_STRONG,
    .choices = freshness_choices },
  { .name = "max_age_ms",
    .kind = FIELD_MS,
    .offset = KIND (max_age_ms),
    .max = MAX_AGE_LIMIT_MS },
  { .name = "repeatable", .kind = FIELD_BOOL, .offset = KIND (repeatable) },
  { .name = "write",
    .kind = FIELD_BOOL,
    .offset = KIND (write),
    .initial = true },
  { .name = "ack",
    .kind = FIELD_CHOICE,
    .offset = KIND (ack),
    .initial = ACK_MAJORITY,
    .choices = ack_choices },
  { .name = "deadline_ms",
    .kind = FIELD_MS,
    .offset = KIND (deadline_ms),
    .min = 1,
    .max = DEADLINE_LIMIT_MS,
    .initial = DEFAULT_DEADLINE_MS },
  { .name = "cost_ms",
    .kind = FIELD_MS,
    .offset = KIND (cost_ms),
    .max = DEADLINE_LIMIT_MS,
    .initial = DEFAULT_COST_MS },
  { .name = "priority",
    .kind = FIELD_U32,
    .offset = KIND (priority),
    .max = PRIORITY_LIMIT,
    .initial = DEFAULT_PRIORITY },
};

#define DATABASE(member) offsetof (struct view_database, member)

static const struct field database_fields[] = {
  { .name = "slots",
    .kind = FIELD_U32,
    .required = true,
    .offset = DATABASE (slots),
    .min = 1,
    .max = SLOTS_LIMIT },
  { .name = "connections",
    .kind = FIELD_U32,
    .required = true,
    .offset = DATABASE (connections),
    .min = 2,
    .max = CONNECTIONS_LIMIT },
  { .name = "connect_cost_ms",
    .kind = FIELD_MS,
    .offset = DATABASE (connect_cost_ms),
    .max = CONNECT_COST_LIMIT_MS,
    .initial = DEFAULT_CONNECT_COST_MS },
  { .name = "leaving", .kind = FIELD_BOOL, .offset = DATABASE (leaving) },
  { .name = "instances", .kind = FIELD_OBJECT },
};

#define INSTANCE(member) offsetof (struct view_instance, member)

static const struct field instance_fields[] = {
  { .name = "address",
    .kind = FIELD_TEXT,
    .required = true,
    .offset = INSTANCE (address),
    .max = ADDRESS_BYTES,
    .check = address_valid,
    .requirement = "must be an IPv4 or IPv6 address" },
  { .name = "port",
    .kind = FIELD_U16,
    .required = true,
    .offset = INSTANCE (port),
    .min = 1,
    .max = UINT16_MAX },
  { .name = "domain",
    .kind = FIELD_TEXT,
    .required = true,
    .offset = INSTANCE (domain),
    .max = NAME_BYTES,
    .check = view_name_valid,
    .requirement = NAME_REQUIREMENT },
  { .name = "leaving", .kind = FIELD_BOOL, .offset = INSTANCE (leaving) },
};

static const struct field caller_fields[] = {
  { .name = "secret_hash",
    .kind = FIELD_STRING,
    .required = true,
    .offset = offsetof (struct view_caller, secret_hash),
    .check = view_secret_hash_valid,
    .requirement = "must be 32 hexadecimal digits, a colon and 64 more" },
};

static const struct field service_fields[] = {
  { .name = "weight",
    .kind = FIELD_U32,
    .offset = offsetof (struct view_service, weight),
    .min = 1,
    .max = WEIGHT_LIMIT,
    .initial = 1 },
  { .name = "callers", .kind = FIELD_OBJECT },
  { .name = "kinds", .kind = FIELD_OBJECT },
  { .name = "databases", .kind = FIELD_OBJECT },
};

static const struct field team_fields[] = {
  { .name = "operators", .kind = FIELD_OBJECT },
  { .name = "services", .kind = FIELD_OBJECT },
};

#define TABLE(fields)                                                         \
  {                                                                           \
    fields, sizeof (fields) / sizeof (fields)[0]                              \
  }

const struct schema schema_kind = TABLE (kind_fields);
const struct schema schema_database = TABLE (database_fields);
const struct schema schema_instance = TABLE (instance_fields);
const struct schema schema_caller = TABLE (caller_fields);
const struct schema schema_service = TABLE (service_fields);
const struct schema schema_team = TABLE (team_fields);
