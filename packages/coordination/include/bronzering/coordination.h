#pragma once

#include <bronzering/coordination/agent_node.h>
#include <bronzering/coordination/config_exchange.h>
#include <bronzering/coordination/entry_node.h>
#include <bronzering/coordination/idempotency_key.h>
#include <bronzering/coordination/limit_leases.h>
#include <bronzering/coordination/limit_owner.h>
#include <bronzering/coordination/membership.h>
#include <bronzering/coordination/messages.h>
#include <bronzering/coordination/subset_choice.h>
