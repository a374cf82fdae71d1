#pragma once

#include <bronzering/dispatch/configuration_lag.h>
#include <bronzering/dispatch/decaying_rate.h>
#include <bronzering/dispatch/dispatch_queue.h>
#include <bronzering/dispatch/endpoint_incarnation_key.h>
#include <bronzering/dispatch/endpoint_rate_limiter.h>
#include <bronzering/dispatch/endpoint_table.h>
#include <bronzering/dispatch/fleet_rate_limiter.h>
#include <bronzering/dispatch/fleet_retry_budget.h>
#include <bronzering/dispatch/peer_table.h>
#include <bronzering/dispatch/prompt_quarantine.h>
#include <bronzering/dispatch/published_items.h>
#include <bronzering/dispatch/route_table.h>
#include <bronzering/dispatch/routing_document.h>
#include <bronzering/dispatch/source_position.h>
