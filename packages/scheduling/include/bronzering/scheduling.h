#pragma once

#include <bronzering/scheduling/candidate_scorer.h>
#include <bronzering/scheduling/engine_model.h>
#include <bronzering/scheduling/fencing_token.h>
#include <bronzering/scheduling/prefix_cache_index.h>
#include <bronzering/scheduling/prefix_cache_model.h>
#include <bronzering/scheduling/retry_budget.h>
#include <bronzering/scheduling/ticket_queue.h>
#include <bronzering/scheduling/waiting_list.h>
