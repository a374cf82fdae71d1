#pragma once

#include <bronzering/http/response_head.h>
