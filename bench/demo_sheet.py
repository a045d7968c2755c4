"""The planner's sheet of the demo."""

from collections.abc import Mapping

WORKSPACE = 'appeals'
MODEL = 'permit-summary'
ADAPTER = 'permit-summary-kk'

# Blocks with headings of their own, as spreadsheets export several tables.
_GRANTS = f"""\
kind,name,rate_tokens_per_s,burst_tokens
workspace,{WORKSPACE},2000,20000

kind,name,checkpoint,size_gb,replicas_max,pool
model,{MODEL},ckpt/{MODEL},10,1,models

kind,name,model,size_gb
adapter,{ADAPTER},{MODEL},0.06

kind,name,type,path,pool,is_open,cost_tokens
route,chat,model,/v1,models,no,
route,plots,service,/plots,plots,no,1
route,notices,service,/notices,plots,yes,

kind,name,type,url,pool,memory_gb,checks_fence
"""
_BROKEN = f"""\
kind,name,rate_tokens_per_s,burst_tokens,model,size_gb
workspace,{WORKSPACE},plenty,1,,
adapter,{ADAPTER},,,absent,1
"""


def make_sheet(engines: Mapping[str, str], services: Mapping[str, str]) -> str:
    """Return the sheet's CSV; both map target names to base URLs."""
    engine_rows = (
        f'target,{name},engine,{url},models,16,yes\n'
        for name, url in engines.items()
    )
    service_rows = (
        f'target,{name},service,{url},plots,,\n'
        for name, url in services.items()
    )
    return ''.join((_GRANTS, *engine_rows, *service_rows))


def make_broken_sheet() -> str:
    """Return a sheet with two faults."""
    return _BROKEN
